// Command bench measures policies of entry instances against each other. It starts no process itself; scripts/bench does.
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

// longest bounds a run, whatever happens.
const longest = 5 * time.Minute

// fleet is the instances of one deployment that run one policy.
type fleet struct {
	deployment, policy string
	instances          []load.Instance
}

// fleets is a flag that can be repeated.
type fleets []fleet

// String implements flag.Value.
func (f *fleets) String() string { return "" }

// Set parses DEPLOYMENT:POLICY=CALLER/OPERATOR/PROCESS,...
func (f *fleets) Set(text string) error {
	name, list, ok := strings.Cut(text, "=")
	deployment, policy, named := strings.Cut(name, ":")
	if !ok || !named {
		return fmt.Errorf("%q is not DEPLOYMENT:POLICY=CALLER/OPERATOR/PROCESS with further instances after commas", text)
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
		given fleets
		plan  string
		json  string
		seed  uint64
	)
	bases := map[string]string{}
	flag.Var(&given, "fleet", "DEPLOYMENT:POLICY=CALLER/OPERATOR/PROCESS,...; repeated")
	flag.Func("base", "DEPLOYMENT=FILE, the base file of a deployment; repeated", func(text string) error {
		name, file, ok := strings.Cut(text, "=")
		if !ok {
			return fmt.Errorf("%q is not DEPLOYMENT=FILE", text)
		}
		bases[name] = file

		return nil
	})
	flag.StringVar(&plan, "plan", "full", "what to run: full, short, overload, stragglers or limits")
	flag.StringVar(&json, "json", "", "file for the report as one line of JSON")
	flag.Uint64Var(&seed, "seed", uint64(time.Now().UnixNano()), "seed of arrivals, queries and faults")
	flag.Parse()

	if err := run(given, bases, plan, json, seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(given fleets, bases map[string]string, plan, json string, seed uint64) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	timers := timer.New()
	ctx, cancel := timers.WithTimeout(ctx, longest)
	defer cancel()
	client := caller.NewClient(caller.WithMaxIdle(256))
	defer client.Close()

	b := &bench{
		timers:    timers,
		generator: load.New(timers, client),
		control:   load.NewControl(timers),
		seed:      seed,
		fleets:    given,
		services:  make(map[string]map[string]contract.Service),
	}
	for name, file := range bases {
		if b.services[name], err = servicesOf(file); err != nil {
			return err
		}
	}
	phases, ok := plans[plan]
	if !ok {
		return fmt.Errorf("-plan: %q is not one of full, short, overload, stragglers and limits", plan)
	}
	for _, f := range given {
		if b.services[f.deployment] == nil {
			return fmt.Errorf("-fleet: deployment %q has no -base", f.deployment)
		}
	}
	r, err := b.run(ctx, plan, phases)
	if err != nil {
		return err
	}
	if err := r.WriteTable(os.Stdout); err != nil || json == "" {
		return err
	}
	file, err := os.Create(json)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()

	return r.WriteJSON(file)
}

// servicesOf returns the services of a base file.
func servicesOf(file string) (map[string]contract.Service, error) {
	files, err := contract.Load(file)
	if err != nil {
		return nil, err
	}
	base, _ := files.Parts()
	merged, err := contract.Merge(base, nil)

	return merged.Services, err
}
