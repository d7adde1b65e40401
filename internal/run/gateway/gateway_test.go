package gateway_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/gateway"
	"github.com/hickorynotch/hickorynotch/internal/standin/loopback"
	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	"github.com/hickorynotch/hickorynotch/internal/standin/platform"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	// The timeout only ends tests that hang. It is long, so that tests do not fail on a busy machine.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "gateway")
}

// output collects the log lines.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.text.String()
}

var _ = Describe("Run", func() {
	It("waits for a valid settings file, and keeps the last valid settings when the file becomes invalid later", func() {
		address, stop, err := platform.New().Start()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		free, err := loopback.FreeAddresses(4)
		Expect(err).NotTo(HaveOccurred())
		path, err := operator.WriteSettings(GinkgoT().TempDir(), 0, "Kochi", address.String(), free)
		Expect(err).NotTo(HaveOccurred())
		valid, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		write := func(text string) {
			// The file is replaced atomically, and its modification time differs from the previous one.
			next := filepath.Join(filepath.Dir(path), "next")
			Expect(os.WriteFile(next, []byte(text), 0o600)).To(Succeed())
			Expect(os.Rename(next, path)).To(Succeed())
		}
		write("nodeName = 7")
		out, done := &output{}, make(chan error, 1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { done <- gateway.Run(ctx, gateway.Settings{Path: path, Output: out}) }()
		Eventually(out.String).Should(ContainSubstring("Name=SettingsRejected"))
		Consistently(done, "100ms").ShouldNot(Receive())
		write(string(valid))
		Eventually(out.String).Should(ContainSubstring("Name=InstanceStarting"))
		write(strings.Replace(string(valid), "graceS = 4", "graceS = 1", 1))
		Eventually(out.String).Should(MatchRegexp("Name=SettingsReloaded .*Changed=true"))
		before := strings.Count(out.String(), "Name=SettingsRejected")
		write("nodeName = 7")
		Eventually(func() int { return strings.Count(out.String(), "Name=SettingsRejected") }).Should(BeNumerically(">", before))
		cancel()
		Eventually(done).Should(Receive(BeNil()))
		Expect(out.String()).To(ContainSubstring("Name=InstanceStopped"))
	})
})
