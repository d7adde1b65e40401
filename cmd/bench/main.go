// Command bench compares policies of the instances under the same load and faults. It starts no processes itself: scripts/bench
// starts the instances and the stand-ins.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/bench/load"
	"github.com/hickorynotch/hickorynotch/internal/run/timer"
	"github.com/hickorynotch/hickorynotch/internal/wire/caller"
	"github.com/hickorynotch/hickorynotch/internal/world/contract"
)

// maxRunTime limits the time of a whole run.
const maxRunTime = 5 * time.Minute

// fleet is the set of instances of one deployment that run one policy.
type fleet struct {
	deployment, policy string
	instances          []load.Instance
}

// fleetFlags collects the values of the repeatable flag -fleet.
type fleetFlags []fleet

// String implements flag.Value.
func (f *fleetFlags) String() string { return "" }

// Set implements flag.Value. It parses DEPLOYMENT:POLICY=CALLER/OPERATOR/PROCESS,... and appends the fleet.
func (f *fleetFlags) Set(text string) error {
	name, list, ok := strings.Cut(text, "=")
	deployment, policy, named := strings.Cut(name, ":")
	if !ok || !named {
		return fmt.Errorf("%q is not DEPLOYMENT:POLICY=CALLER/OPERATOR/PROCESS[,CALLER/OPERATOR/PROCESS...]", text)
	}
	added := fleet{deployment: deployment, policy: policy}
	for part := range strings.SplitSeq(list, ",") {
		i, err := load.ParseInstance(part)
		if err != nil {
			return err
		}
		added.instances = append(added.instances, i)
	}
	*f = append(*f, added)

	return nil
}

func main() {
	var (
		fleets   fleetFlags
		plan     string
		jsonPath string
		seed     uint64
	)
	bases := map[string]string{}
	flag.Var(&fleets, "fleet",
		"DEPLOYMENT:POLICY=CALLER/OPERATOR/PROCESS,...: addresses and process IDs of a fleet; may be repeated")
	flag.Func("base", "DEPLOYMENT=FILE: the base file of a deployment; may be repeated", func(text string) error {
		name, file, ok := strings.Cut(text, "=")
		if !ok {
			return fmt.Errorf("%q is not DEPLOYMENT=FILE", text)
		}
		bases[name] = file

		return nil
	})
	flag.StringVar(&plan, "plan", "full", "set of phases to run: full, short, overload, stragglers or limits")
	flag.StringVar(&jsonPath, "json", "", "path of a file for the report as one line of JSON; none if empty")
	flag.Uint64Var(&seed, "seed", uint64(time.Now().UnixNano()), "seed of arrivals, queries and faults")
	flag.Parse()

	if err := run(fleets, bases, plan, jsonPath, seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(fleets fleetFlags, bases map[string]string, plan, jsonPath string, seed uint64) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	timers := timer.New()
	ctx, cancel := timers.WithTimeout(ctx, maxRunTime)
	defer cancel()
	client := caller.NewClient(caller.WithMaxIdle(256))
	defer client.Close()

	b := &bench{
		timers:    timers,
		generator: load.New(timers, client),
		control:   load.NewControl(timers),
		seed:      seed,
		fleets:    fleets,
		services:  make(map[string]map[string]contract.Service),
	}
	for name, file := range bases {
		if b.services[name], err = loadServices(file); err != nil {
			return err
		}
	}
	phases, ok := plans[plan]
	if !ok {
		return fmt.Errorf("-plan: %q is not one of full, short, overload, stragglers and limits", plan)
	}
	for _, f := range fleets {
		if b.services[f.deployment] == nil {
			return fmt.Errorf("-fleet: deployment %q has no -base", f.deployment)
		}
	}
	r, err := b.run(ctx, plan, phases)
	if err != nil {
		return err
	}
	if err := r.WriteTable(os.Stdout); err != nil || jsonPath == "" {
		return err
	}
	file, err := os.Create(jsonPath)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()

	return r.WriteJSON(file)
}

// loadServices returns the services of a base file.
func loadServices(file string) (map[string]contract.Service, error) {
	files, err := contract.Load(file)
	if err != nil {
		return nil, err
	}
	base, _ := files.Documents()
	merged, err := contract.Merge(base, nil)

	return merged.Services, err
}
