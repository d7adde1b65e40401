package event_test

import (
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

// output is a writer that blocks until unblock is closed.
type output struct {
	mu      sync.Mutex
	text    strings.Builder
	unblock chan struct{}
}

func (o *output) Write(text []byte) (int, error) {
	<-o.unblock
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.text.Write(text)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.text.String()
}

var _ = Describe("Buffer", func() {
	It("does not block the process when the output blocks, and logs that lines were dropped", func() {
		o := &output{unblock: make(chan struct{})}
		timers := timer.New()
		buffer := event.NewBuffer(o, timers)
		log := event.NewBuffered(buffer, timers.Now)
		for range 20000 {
			log.Log(event.RequestFailed, "Request", "r")
		}
		close(o.unblock)
		Eventually(func() string {
			log.Log(event.InstanceStarting)

			return o.String()
		}, "5s", "1100ms").Should(ContainSubstring("Name=LinesDropped"))
		buffer.Close()
	})

	It("writes all lines to the output before Close returns, if the rate limits were not exceeded", func() {
		o := &output{unblock: make(chan struct{})}
		close(o.unblock)
		timers := timer.New()
		buffer := event.NewBuffer(o, timers)
		log := event.NewBuffered(buffer, timers.Now).With("Instance", "a")
		log.Log(event.InstanceStarting)
		log.Log(event.InstanceStopped)
		buffer.Close()
		Expect(o.String()).To(And(ContainSubstring("InstanceStarting Instance=a"), ContainSubstring("InstanceStopped")))
	})
})
