package target_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/tier/target"
	"github.com/hickorynotch/hickorynotch/internal/world/directory"
)

var _ = Describe("A target that says in a response that it leaves", func() {
	var (
		pool     *target.Pool
		entry    directory.Target
		reported int
	)
	usable := func() int { return len(pool.Links(nil, "s")) }
	list := func(targets ...directory.Target) {
		var listed []*directory.Target
		for i := range targets {
			listed = append(listed, &targets[i])
		}
		pool.Update(directory.New(listed))
	}

	BeforeEach(func() {
		server := startTarget(func(_ int, id string) string {
			return strings.Replace(okResponse(id, "x"), "Stamp", "Leaving: 1\r\nStamp", 1)
		})
		reported = 0
		pool = target.NewPool(codec, timer.New(), target.OnLeaving(func() { reported++ }))
		DeferCleanup(pool.Close)
		entry = directory.Target{ID: "i-1", Service: "s", Address: server.address, Slots: 2, Started: time.UnixMilli(7)}
		list(entry)
		Expect(usable()).To(Equal(1))
		result := pool.Links(nil, "s")[0].Send(newCall("r1"), &target.Cancel{})
		Expect(result.Success()).To(BeTrue(), "the response is valid")
		pool.Links(nil, "s")
	})

	It("gets no more requests, and is reported once as long as the registry lists it as ready", func() {
		Expect(usable()).To(BeZero())
		Expect(reported).To(Equal(1))
		Expect(pool.LeavingReports()).To(HaveLen(1))
		draining := entry
		draining.Draining = true
		list(draining)
		Expect(pool.LeavingReports()).To(BeEmpty())
	})

	It("gets none either if an older entry of it is listed, or if its entry was missing for a while", func() {
		older := entry
		older.Sequence--
		list(older)
		Expect(usable()).To(BeZero())
		list()
		list(entry)
		Expect(usable()).To(BeZero())
	})

	It("does not keep requests from a process that starts later under its ID", func() {
		restarted := entry
		restarted.Started = time.UnixMilli(8)
		list(restarted)
		Expect(usable()).To(Equal(1))
		Expect(pool.LeavingReports()).To(BeEmpty())
	})
})
