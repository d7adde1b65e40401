package control

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

// Register keeps the instance registered until ctx ends, and then removes it.
func (f *Fleet) Register(ctx context.Context) error {
	value, err := json.Marshal(f.self)
	if err != nil {
		return Error.Wrap(err)
	}
	backoff := newBackoff(f.timers)
	var lease Lease
	for ctx.Err() == nil {
		err := f.keepRegistered(ctx, &lease, value)
		if err != nil {
			f.log.Log(event.RegistrationFailed, "Error", err)
			backoff.sleep(ctx)

			continue
		}
		backoff.reset()
		select {
		case <-f.timers.After(instanceRenew):
		case <-ctx.Done():
		}
	}
	if lease != 0 {
		ending, cancel := f.timers.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		if err := f.store.End(ending, lease); err != nil {
			f.log.Log(event.RegistrationFailed, "Error", err)
		}
	}

	return ctx.Err()
}

// keepRegistered renews the lease, or registers under a new one.
func (f *Fleet) keepRegistered(ctx context.Context, lease *Lease, value []byte) (err error) {
	ctx, cancel := f.timers.WithTimeout(ctx, callTimeout)
	defer cancel()
	if *lease != 0 {
		err := f.store.Renew(ctx, *lease)
		if !errors.Is(err, ErrLeaseEnded) {
			return err
		}
		*lease = 0
	}
	granted, err := f.store.Grant(ctx, instanceTTL)
	if err != nil {
		return err
	}
	if _, err = f.store.Commit(ctx, Transaction{
		Puts: []Put{{Key: instancePrefix + f.self.Name, Value: value, Lease: granted}},
	}); err != nil {
		return err
	}
	*lease = granted

	return nil
}
