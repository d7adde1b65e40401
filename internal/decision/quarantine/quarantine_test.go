package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/decision/quarantine"
	"github.com/hickorynotch/hickorynotch/internal/world/suspect"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

var (
	start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	query = suspect.NewFingerprint([]byte("GET /a"))
)

func crash(n int, alone bool) suspect.Crash {
	return suspect.Crash{Process: fmt.Sprintf("p%d", n), Alone: alone}
}

// firstBlock is the longest time for which a query may be blocked on evidence of one moment.
const firstBlock = 5 * time.Second

// block returns a list that blocks query.
func block() *quarantine.List {
	l := quarantine.NewList()
	l.RecordCrash(query, crash(1, false), start)
	l.RecordCrash(query, crash(2, true), start)
	Expect(l.RecordCrash(query, crash(3, true), start).Mode).To(Equal(quarantine.Blocked))

	return l
}

var _ = Describe("A query", func() {
	DescribeTable("is blocked only once it has crashed two processes, one of them in a trial, and for seconds however many end at one moment",
		func(expected quarantine.Mode, crashes ...suspect.Crash) {
			l := quarantine.NewList()
			for _, c := range crashes {
				l.RecordCrash(query, c, start)
			}
			Expect(l.Verdict(query, start).Mode).To(Equal(expected))
			Expect(l.Verdict(query, start).Left).To(BeNumerically("<=", firstBlock))
			Expect(l.Verdict(query, start.Add(firstBlock)).Mode).NotTo(Equal(quarantine.Blocked))
		},
		Entry("no crash", quarantine.Clear),
		Entry("one alone", quarantine.Careful, crash(1, true)),
		Entry("many, none alone, as a query that was lost with others", quarantine.Careful,
			crash(1, false), crash(2, false), crash(3, false), crash(4, false)),
		Entry("one alone among many, which may be a coincidence", quarantine.Blocked, crash(1, false), crash(2, false), crash(3, true)),
		Entry("the same process three times", quarantine.Careful, crash(1, true), crash(1, true), crash(1, true)),
		Entry("one of two alone", quarantine.Blocked, crash(1, false), crash(2, true)),
		Entry("two alone among three", quarantine.Blocked, crash(1, false), crash(2, true), crash(3, true)),
		Entry("many alone, as trials of several instances that ended with a rack", quarantine.Blocked,
			crash(1, false), crash(2, true), crash(3, true), crash(4, true), crash(5, true)),
	)

	It("that a target has answered is cleared, together with the losses of the processes, which another query has crashed", func() {
		l, other := quarantine.NewList(), suspect.NewFingerprint([]byte("GET /b"))
		l.RecordCrash(query, crash(1, true), start)
		l.RecordCrash(other, crash(1, true), start)
		l.RecordCrash(other, crash(2, true), start)
		Expect(l.RecordAnswer(other, start)).To(BeTrue())
		Expect(l.IsLost("p1", start)).To(BeTrue())
		Expect(l.IsLost("p2", start)).To(BeFalse())
	})

	It("makes processes count as lost for some seconds, also those that other instances report, and not again with each report", func() {
		l, other := quarantine.NewList(), quarantine.NewList()
		other.RecordCrash(query, crash(1, true), start)
		records, _ := other.Changed(0, start)
		l.Merge(records, start)
		Expect(l.IsLost("p1", start.Add(3*time.Second))).To(BeTrue())
		l.RecordCrash(query, crash(2, true), start.Add(3*time.Second))
		l.Merge(records, start.Add(3*time.Second))
		Expect(l.IsLost("p1", start.Add(5*time.Second))).To(BeFalse())
		Expect(l.IsLost("p2", start.Add(5*time.Second))).To(BeTrue())
		Expect(l.IsLost("p2", start.Add(10*time.Second))).To(BeFalse())
		Expect(l.AnyLost(start.Add(5 * time.Second))).To(BeTrue())
		Expect(l.AnyLost(start.Add(10 * time.Second))).To(BeFalse())
	})

	It("that a target has answered is cleared, and crashes of before that arrive late do not count", func() {
		l, late := block(), block()
		Expect(l.RecordAnswer(query, start)).To(BeTrue())
		records, _ := late.Changed(0, start)
		l.Merge(records, start)
		Expect(l.Verdict(query, start).Mode).To(Equal(quarantine.Clear))
	})

	It("is blocked for minutes once a trial after the first block has crashed another process", func() {
		l := block()
		Expect(l.RecordCrash(query, crash(4, true), start.Add(firstBlock)).Left).To(BeNumerically(">=", time.Minute))
	})

	It("is tried again within seconds of its first block, because it may have been blocked by coincidence", func() {
		l := block()
		now := start.Add(firstBlock)
		Expect(l.Verdict(query, now).Mode).To(Equal(quarantine.Careful))
		Expect(l.BeginTrial(query, now)).To(BeTrue())
		Expect(l.RecordAnswer(query, now)).To(BeTrue())
		Expect(l.Verdict(query, now).Mode).To(Equal(quarantine.Clear))
	})

	It("is not tried at the moment of a crash, when other targets may end for the same reason", func() {
		l, other := quarantine.NewList(), quarantine.NewList()
		l.RecordCrash(query, crash(1, false), start)
		records, _ := l.Changed(0, start)
		other.Merge(records, start)
		for _, list := range []*quarantine.List{l, other} {
			Expect(list.BeginTrial(query, start.Add(50*time.Millisecond))).To(BeFalse())
			Expect(list.BeginTrial(query, start.Add(100*time.Millisecond))).To(BeTrue())
		}
	})

	DescribeTable("may be tried by more instances the longer it has waited for one, so that a large fleet does not refuse it for minutes",
		func(after time.Duration, instances int) {
			l := quarantine.NewList()
			l.RecordCrash(query, crash(1, false), start)
			verdict := l.Verdict(query, start.Add(after))
			Expect(verdict.TrialInstances()).To(Equal(instances))
		},
		Entry("one at first, so that a guilty one that is sent often ends one target", 1900*time.Millisecond, 1),
		Entry("two after two seconds", 2*time.Second, 2),
		Entry("64 within 12 seconds, the shortest time in which an installation has to recover", 12*time.Second, 64),
		Entry("a bounded number", time.Minute, 1<<20),
	)

	It("may be tried by one instance at first after each block and each crash", func() {
		l := block()
		now := start.Add(firstBlock)
		Expect(l.Verdict(query, now)).To(HaveField("Waiting", BeZero()))
		l.RecordCrash(query, crash(4, false), now.Add(3*time.Second))
		Expect(l.Verdict(query, now.Add(3*time.Second))).To(HaveField("Waiting", BeZero()))
	})

	It("does not change the verdict on others", func() {
		Expect(block().Verdict(suspect.NewFingerprint([]byte("GET /b")), start).Mode).To(Equal(quarantine.Clear))
	})

	It("is tried again with care after a block, which is longer after each crash, so that it never crashes more than a few in a day", func() {
		l, now, retries := block(), start, 0
		for ; now.Before(start.Add(24 * time.Hour)); now = now.Add(time.Minute) {
			if l.Verdict(query, now).Mode == quarantine.Careful {
				retries++
				Expect(l.RecordCrash(query, crash(10+retries, true), now).Mode).To(Equal(quarantine.Blocked))
			}
		}
		Expect(retries).To(BeNumerically("<=", 3))
	})
})

var _ = Describe("The lists of two instances", func() {
	It("agree on what either has observed, in whichever order their records arrive", func() {
		a, b := quarantine.NewList(), quarantine.NewList()
		a.RecordCrash(query, crash(1, true), start)
		b.RecordCrash(query, crash(2, true), start)
		b.RecordCrash(query, crash(3, false), start)
		fromA, _ := a.Changed(0, start)
		fromB, _ := b.Changed(0, start)
		a.Merge(fromB, start)
		b.Merge(fromA, start)
		Expect(a.Verdict(query, start).Mode).To(Equal(quarantine.Blocked))
		Expect(b.Verdict(query, start).Mode).To(Equal(quarantine.Blocked))
	})

	It("do not pass the same record to and fro without end", func() {
		a, b := block(), quarantine.NewList()
		records, _ := a.Changed(0, start)
		b.Merge(records, start)
		_, before := a.Changed(0, start)
		back, _ := b.Changed(0, start)
		a.Merge(back, start)
		again, _ := a.Changed(before, start)
		Expect(again).To(BeEmpty())
	})

	It("do not extend a block by passing it on", func() {
		a, b := block(), quarantine.NewList()
		left := 2 * time.Second
		later := start.Add(a.Verdict(query, start).Left - left)
		records, _ := a.Changed(0, later)
		b.Merge(records, later)
		Expect(b.Verdict(query, later).Left).To(BeNumerically("<=", left))
	})
})

var _ = Describe("A list", func() {
	It("keeps a bounded number of records, and the queries that it blocks, whatever crashes", func() {
		l := block()
		for n := range 10000 {
			l.RecordCrash(suspect.NewFingerprint(fmt.Append(nil, n)), crash(n, false), start)
		}
		total := 0
		for cursor := uint64(0); ; {
			records, next := l.Changed(cursor, start)
			if len(records) == 0 {
				break
			}
			total, cursor = total+len(records), next
		}
		Expect(total).To(BeNumerically("<=", 1024))
		Expect(l.Verdict(query, start).Mode).To(Equal(quarantine.Blocked))
	})

	It("forgets a suspect after some time", func() {
		l := quarantine.NewList()
		l.RecordCrash(query, crash(1, true), start)
		Expect(l.Verdict(query, start.Add(time.Hour)).Mode).To(Equal(quarantine.Clear))
	})
})
