// Command soak runs the fault soak: it starts instances as processes, sends them requests, injects faults according to a random
// schedule that is derived from a seed, and checks the guarantees of the system.
//
// With -without it starts instances with one mechanism switched off, and succeeds only if the soak detects a violated guarantee.
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

	"github.com/hickorynotch/hickorynotch/internal/proof/soak"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	program := flag.String("program", ".bin/hickorynotch", "path of the hickorynotch binary")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Uint64("seeds", 1, "number of consecutive seeds, with one run for each")
	duration := flag.Duration("duration", 15*time.Second, "time for which each run injects faults")
	restores := flag.Bool("restores", false, "make the store come back from older copies, too")
	without := flag.String("without", "", "mechanism to switch off in the instances: "+strings.Join(soak.Mechanisms(), ", "))
	settingsFile := flag.String("instance", "",
		"settings file of one instance to run without the mechanism of -without; used by soak itself")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if *settingsFile != "" {
		return soak.RunWithout(ctx, *without, *settingsFile, os.Stdout)
	}
	command := []string{*program, "gateway", "-settings"}
	if *without != "" {
		command = []string{os.Args[0], "-without", *without, "-instance"}
	}
	failed := runSeeds(ctx, *seed, *seeds, soak.Settings{
		Command: command, Duration: *duration, Output: os.Stdout, Restores: *restores,
	}, *without != "")
	switch {
	case ctx.Err() != nil:
		return soak.ErrInterrupted
	case *without == "" && failed > 0:
		return fmt.Errorf("%d seeds failed", failed)
	case *without != "" && failed == 0:
		return fmt.Errorf("no seed detected that the instances run without %s", *without)
	}

	return nil
}

// runSeeds runs the soak with the given number of consecutive seeds and returns how many runs failed. If stopAtFailure is set, it
// stops after the first failed run. The logs of failed runs are kept.
func runSeeds(ctx context.Context, seed, seeds uint64, settings soak.Settings, stopAtFailure bool) (failed uint64) {
	passed := uint64(0)
	for s := seed; s < seed+seeds && ctx.Err() == nil && (failed == 0 || !stopAtFailure); s++ {
		logs, err := os.MkdirTemp("", "soak")
		if err == nil {
			settings.Seed, settings.Logs = s, logs
			err = soak.Run(ctx, settings)
		}
		if errors.Is(err, soak.ErrInterrupted) {
			_ = os.RemoveAll(logs)

			break
		}
		if err != nil {
			failed++
			fmt.Printf("FAILED seed %d: %v; logs in %s\n", s, err, logs)

			continue
		}
		passed++
		_ = os.RemoveAll(logs)
	}
	fmt.Printf("soak: %d passed, %d failed\n", passed, failed)

	return failed
}
