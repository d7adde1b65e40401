package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/hickorynotch/hickorynotch/internal/fleet/configuration"
	"github.com/hickorynotch/hickorynotch/internal/run/setting"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/operator"
	wire "github.com/hickorynotch/hickorynotch/internal/wire/platform"
	"github.com/hickorynotch/hickorynotch/platform"
)

// exitShowOutdated is the exit status of show if an instance has an older revision in force than the accepted one, if its status is
// not available, or if the accepted revision is unknown.
const exitShowOutdated subcommands.ExitStatus = 3

// statusTimeout limits the wait for the status of each instance.
const statusTimeout = 2 * time.Second

// showCommand prints the accepted revision of the configuration and the revision in force at each instance.
type showCommand struct {
	out, errors io.Writer
	settings    *setting.Set
	platform    *netip.AddrPort
	operators   *[]netip.AddrPort
}

func newShowCommand() *showCommand {
	return &showCommand{out: os.Stdout, errors: os.Stderr}
}

func (*showCommand) Name() string { return "show" }
func (*showCommand) Synopsis() string {
	return "print the accepted revision and the revision in force at each instance"
}
func (*showCommand) Usage() string {
	return `show -platform ADDRESS -operators ADDRESS[,ADDRESS...]:
  Print the accepted revision and the revision in force at each instance with one
  of the given operator addresses. Exit status: 3 if an instance has an older
  revision in force or does not answer, or if the accepted revision is unknown.
`
}

func (c *showCommand) SetFlags(flags *flag.FlagSet) {
	c.settings = setting.New(flags)
	c.platform = c.settings.AddrPort("platform", netip.AddrPort{}, "address of the platform's services", setting.Required())
	c.operators = c.settings.AddrPorts("operators", nil, "operator addresses of the instances")
}

func (c *showCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !resolve(c.errors, c.settings, flags) {
		return subcommands.ExitUsageError
	}
	accepted, known := c.showAccepted(ctx)
	outdated := !known
	for _, address := range *c.operators {
		status, err := operator.FetchStatus(ctx, address, statusTimeout)
		if err != nil {
			_, _ = fmt.Fprintf(c.out, "%s: no status: %v\n", address, err)
			outdated = true

			continue
		}
		_, _ = fmt.Fprintf(c.out, "%s: %s in %s: revision %d in force, ready %t %s\n",
			address, status.Name, status.AvailabilityZone, status.Revision, status.Ready, status.Reason)
		outdated = outdated || status.Revision < accepted
	}
	if outdated {
		return exitShowOutdated
	}

	return subcommands.ExitSuccess
}

// showAccepted prints and returns the accepted revision, which is 0 if there is none. known is false if it could not be read.
func (c *showCommand) showAccepted(ctx context.Context) (revision uint64, known bool) {
	store := platform.NewStore(*c.platform)
	defer store.Close()
	client := wire.NewClient(store.KeyValueStore(), store.Targets(), timer.New())
	entry, err := client.Read(ctx, configuration.Key)
	if err != nil {
		_, _ = fmt.Fprintf(c.out, "accepted: unknown: %v\n", err)

		return 0, false
	}
	if entry.Version == 0 {
		_, _ = fmt.Fprintln(c.out, "accepted: none")

		return 0, true
	}
	record, err := configuration.Decode(entry.Value)
	if err != nil {
		_, _ = fmt.Fprintf(c.out, "accepted: not readable: %v\n", err)

		return 0, false
	}
	_, _ = fmt.Fprintf(c.out, "accepted: revision %d by %s at %s\n", record.Revision, record.Operator,
		record.At.UTC().Format(time.RFC3339))

	return record.Revision, true
}
