package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/run/setting"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
	"github.com/hickorynotch/hickorynotch/platform"
)

// Exit statuses of apply, in addition to those of package subcommands.
const (
	exitApplyConflict subcommands.ExitStatus = 4
	exitApplyUnknown  subcommands.ExitStatus = 5
)

// applyCommand writes a configuration to the platform's store.
type applyCommand struct {
	out, errors io.Writer
	settings    *setting.Set
	platform    *netip.AddrPort
	files       configurationFiles
	operator    *string
	id          *string
	from        *int
	timeout     *time.Duration
}

func newApplyCommand() *applyCommand {
	return &applyCommand{out: os.Stdout, errors: os.Stderr}
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "write a configuration to the platform's store" }
func (*applyCommand) Usage() string {
	return `apply -platform ADDRESS -operator NAME -base FILE [-overlay FILE ...] [-from REVISION] [-id APPLYID]:
  Check a configuration and write it to the platform's store as the accepted
  revision. If the reply to the write is lost, repeat the write and read the
  store to determine the outcome. Exit status: 0 accepted, 1 not accepted, 2
  incorrect usage, 4 another change was accepted first, 5 outcome unknown; run
  apply again with the printed ApplyID to determine it.
`
}

func (c *applyCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.platform = c.settings.AddrPort("platform", netip.AddrPort{}, "address of the platform's services", setting.Required())
	c.files.setFlags(c.settings, flags)
	c.operator = c.settings.String("operator", "", "name of the operator, recorded in the history", setting.Required())
	c.id = c.settings.String("id", "", "ApplyID of an earlier run whose outcome is unknown; generated if empty")
	c.from = c.settings.Int("from", 0, 0, math.MaxInt, "revision on which the files are based; 0 for the currently accepted one")
	c.timeout = c.settings.Duration("timeout", 30*time.Second, time.Second, 10*time.Minute, "maximum time to determine the outcome")
}

func (c *applyCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !resolve(c.errors, c.settings, flags) {
		return subcommands.ExitUsageError
	}
	files, ok := c.files.load(c.errors)
	if !ok {
		return subcommands.ExitFailure
	}
	timers := timer.New()
	ctx, cancel := timers.WithTimeout(ctx, *c.timeout)
	defer cancel()
	store := platform.NewStore(*c.platform)
	defer store.Close()
	client := wire.NewClient(store.KeyValueStore(), store.Targets(), timers)
	applier := configuration.NewApplier(timers, configuration.WithApplierStore(client))
	applier.Check = contract.CheckAll
	change := configuration.Change{ApplyID: *c.id, Operator: *c.operator, From: uint64(*c.from)}
	if change.ApplyID == "" {
		change.ApplyID = newApplyID()
	}
	change.Base, change.Overlays = files.Documents()
	result, err := applier.Apply(ctx, change)

	return c.report(change.ApplyID, result, err)
}

func (c *applyCommand) report(id string, result configuration.Result, err error) subcommands.ExitStatus {
	var conflict *configuration.RaceError
	switch {
	case errors.Is(err, configuration.ErrOutcomeUnknown):
		_, _ = fmt.Fprintf(c.errors, "%v (ApplyID %s)\n", err, id)

		return exitApplyUnknown
	case errors.As(err, &conflict):
		_, _ = fmt.Fprintln(c.errors, err)

		return exitApplyConflict
	case err != nil:
		_, _ = fmt.Fprintln(c.errors, err)

		return subcommands.ExitFailure
	}
	outcome := "accepted"
	if result.Already {
		outcome = "already accepted"
	}
	_, _ = fmt.Fprintf(c.out, "%s: revision %d by %s (ApplyID %s)\n", outcome, result.Accepted.Revision,
		result.Accepted.Operator, result.Accepted.ApplyID)
	for _, later := range result.Superseded {
		_, _ = fmt.Fprintf(c.out, "superseded: revision %d by %s\n", later.Revision, later.Operator)
	}

	return subcommands.ExitSuccess
}

func newApplyID() string {
	var id [16]byte
	// crypto/rand.Read never returns an error. It crashes the program if the system's random source fails.
	_, _ = rand.Read(id[:])

	return hex.EncodeToString(id[:])
}
