package control

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
)

// Registration keeps an instance registered in the store by means of a lease.
type Registration struct {
	store  KeyValueStore
	self   Instance
	timers *timer.Service
	log    *event.Log
	// needed reports whether the instance has to be registered in the store, and returns a channel that is closed when that changes.
	needed func() (bool, <-chan struct{})
}

// NewRegistration returns the registration of self.
func NewRegistration(store KeyValueStore, self Instance, timers *timer.Service, log *event.Log) *Registration {
	return &Registration{
		store: store, self: self, timers: timers, log: log, needed: func() (bool, <-chan struct{}) { return true, nil },
	}
}

// Run keeps the instance registered until ctx is done, and then removes the registration.
func (r *Registration) Run(ctx context.Context) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return Error.Wrap(err)
	}
	backoff := newBackoff(r.timers)
	var lease registrationLease
	for ctx.Err() == nil {
		needed, changed := r.needed()
		if !needed {
			// The lease is left to expire, which costs no call.
			lease = registrationLease{}
			select {
			case <-changed:
			case <-ctx.Done():
			}

			continue
		}
		err := r.renewOrRegister(ctx, &lease, value)
		if err != nil {
			r.log.Log(event.RegistrationFailed, "Error", err)
			backoff.sleep(ctx)

			continue
		}
		backoff.reset()
		select {
		case <-r.timers.After(instanceRenewInterval):
		case <-changed:
		case <-ctx.Done():
		}
	}
	if lease.id != 0 {
		endCtx, cancel := r.timers.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		if err := r.store.End(endCtx, lease.id); err != nil {
			r.log.Log(event.RegistrationFailed, "Error", err)
		}
	}

	return ctx.Err()
}

// registrationLease is the lease of a registration, and the generation of the store in which the instance registered with it.
type registrationLease struct {
	id         Lease
	generation uint64
}

// renewOrRegister renews the lease. If there is none, it has expired, or the store has come back from an older copy, which may have the
// lease but not the registration, it registers the instance with a new one.
func (r *Registration) renewOrRegister(ctx context.Context, lease *registrationLease, value []byte) (err error) {
	ctx, cancel := r.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease.id != 0 {
		err := r.store.Renew(ctx, lease.id)
		restored := err == nil && r.store.Generation() != lease.generation
		if restored {
			r.log.Log(event.StoreRestored, "Part", "Registration", "Generation", r.store.Generation(), "Before", lease.generation)
		}
		if !errors.Is(err, ErrLeaseEnded) && !restored {
			return err
		}
		*lease = registrationLease{}
	}
	newLease, _, err := r.store.Grant(ctx, instanceTTL)
	if err != nil {
		return err
	}
	revision, err := r.store.Commit(ctx, Transaction{
		Puts: []Put{{Key: InstanceKey(r.self.Name), Value: value, Lease: newLease}},
	})
	if err != nil {
		return err
	}
	lease.id = newLease
	lease.generation, _ = SplitRevision(revision)

	return nil
}

// Register keeps the instance registered in the store until ctx is done, except while it follows a leader, which lists it. It then
// removes the registration.
func (f *Fleet) Register(ctx context.Context) error {
	registration := NewRegistration(f.store, f.self, f.timers, f.log)
	registration.needed = f.UsesStore
	err := registration.Run(ctx)
	f.leave()

	return err
}

// InstanceKey returns the key of the registration of the instance with this name.
func InstanceKey(name string) string { return instancePrefix + name }

// Instances returns the registered instances. Invalid registrations are logged and omitted.
func Instances(ctx context.Context, store KeyValueStore, log *event.Log) (instances []Instance, err error) {
	entries, _, err := store.List(ctx, instancePrefix)
	if err != nil {
		return nil, err
	}
	for i := range entries {
		if instance, ok := decodeEntry[Instance](log, &entries[i]); ok {
			instances = append(instances, instance)
		}
	}

	return instances, nil
}
