package control_test

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hickorynotch/hickorynotch/internal/tier/control"
)

// lateCommits are commits whose caller has given up waiting, and which have not been applied yet.
type lateCommits struct {
	release chan struct{}
	applied atomic.Int64
	failed  atomic.Int64
}

// matches reports whether the transaction changes the mirror.
func (*lateCommits) matches(t *control.Transaction) bool {
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, mirrorKeys) {
			return true
		}
	}
	for _, key := range t.Deletes {
		if strings.HasPrefix(key, mirrorKeys) {
			return true
		}
	}

	return false
}

// delay applies a transaction once the commits are released, and returns when its caller gives up.
func (l *lateCommits) delay(ctx context.Context, t control.Transaction, commit func(context.Context, control.Transaction) (uint64, error)) error {
	go func() {
		<-l.release
		if _, err := commit(context.WithoutCancel(ctx), t); err != nil {
			l.failed.Add(1)
		} else {
			l.applied.Add(1)
		}
	}()
	<-ctx.Done()

	return ctx.Err()
}

var _ = Describe("A write of the leader that the store applies after the leader has given up waiting for it", func() {
	It("does not bring back a target that is gone in the mirror", func() {
		f := newFollowingFleet(names(5)...)
		leader, term := f.settle(), f.storedTerm()
		late := &lateCommits{release: make(chan struct{})}
		f.instances[leader].lateCommits.Store(late)
		f.registry.set(nil, target("a"), target("late"))
		// The leader reads the registry twice a second, and then waits for its commit.
		time.Sleep(700 * time.Millisecond)
		f.registry.set(nil, target("a"), target("b"))
		time.Sleep(700 * time.Millisecond)
		f.instances[leader].lateCommits.Store(nil)
		Eventually(f.mirrored, "3s", "20ms").Should(ConsistOf("a", "b"))
		close(late.release)
		Eventually(func() int64 { return late.applied.Load() + late.failed.Load() }, "1s", "10ms").Should(BeNumerically(">=", 1))
		Consistently(f.mirrored, "1500ms", "20ms").Should(ConsistOf("a", "b"))
		Expect(f.settle()).To(Equal(leader))
		Expect(f.storedTerm()).To(Equal(term))
		f.expectTargets(2, "1s")
	})

	It("leaves the leader and those that follow it as they are, also if the write is made and only the reply is lost", func() {
		f := newFollowingFleet(names(8)...)
		leader, term := f.settle(), f.storedTerm()
		f.instances[leader].loseReplies.Store(true)
		f.registry.set(nil, target("a"), target("b"))
		Eventually(f.mirrored, "2s", "10ms").Should(ConsistOf("a", "b"))
		// The standbys learn that the leader has written its key again before the leader does.
		f.instances[leader].slowReplies.Store(true)
		f.instances[leader].loseReplies.Store(false)
		for begin := time.Now(); time.Since(begin) < 4*time.Second; time.Sleep(10 * time.Millisecond) {
			for _, i := range f.all() {
				usesStore, _ := i.fleet.UsesStore()
				Expect(usesStore).To(Equal(i.name == leader), i.name)
			}
		}
		f.expectTargets(2, "1s")
		Expect(f.mirrored()).To(ConsistOf("a", "b"))
		Expect(f.settle()).To(Equal(leader))
		Expect(f.storedTerm()).To(Equal(term))
	})
})
