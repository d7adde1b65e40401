package gateway_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/gateway"
	"github.com/hickorynotch/hickorynotch/internal/standin/operator"
	"github.com/hickorynotch/hickorynotch/internal/standin/platform"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	// The bound is for hung tests and not a measure, so that a busy machine does not fail them.
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "gateway")
}

// output collects the log.
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

// ports returns addresses on loopback that nothing listens on.
func ports(n int) (free []netip.AddrPort) {
	for range n {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		free = append(free, netip.MustParseAddrPort(l.Addr().String()))
	}

	return free
}

var _ = Describe("Run", func() {
	It("waits for settings that can be used, and keeps the last good ones when the file breaks later", func() {
		address, stop, err := platform.New().Start()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		path, err := operator.WriteSettings(GinkgoT().TempDir(), 0, "Kochi", address.String(), ports(4))
		Expect(err).NotTo(HaveOccurred())
		good, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		write := func(text string) {
			// The file is replaced as a whole, and its time differs from the one before.
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
		write(string(good))
		Eventually(out.String).Should(ContainSubstring("Name=InstanceStarting"))
		write(strings.Replace(string(good), "graceS = 4", "graceS = 1", 1))
		Eventually(out.String).Should(MatchRegexp("Name=SettingsReloaded .*Changed=true"))
		before := strings.Count(out.String(), "Name=SettingsRejected")
		write("nodeName = 7")
		Eventually(func() int { return strings.Count(out.String(), "Name=SettingsRejected") }).Should(BeNumerically(">", before))
		cancel()
		Eventually(done).Should(Receive(BeNil()))
		Expect(out.String()).To(ContainSubstring("Name=InstanceStopped"))
	})
})
