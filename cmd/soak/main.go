// Command soak runs the fault soak: instances as processes, harmed by a random schedule from a seed.
//
// With -without it starts instances that lack one mechanism, and succeeds if the soak finds a broken promise.
package main

import (
	"context"
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
	program := flag.String("program", ".bin/hickorynotch", "path of the product")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Uint64("seeds", 1, "number of seeds, one run each")
	duration := flag.Duration("duration", 15*time.Second, "time of faults in each run")
	without := flag.String("without", "", "mechanism that the instances lack: "+strings.Join(soak.Mechanisms(), ", "))
	settings := flag.String("instance", "", "run an instance with this settings file that lacks the mechanism of -without")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if *settings != "" {
		return soak.RunWithout(ctx, *without, *settings, os.Stdout)
	}
	command := []string{*program, "gateway", "-settings"}
	if *without != "" {
		command = []string{os.Args[0], "-without", *without, "-instance"}
	}
	failed := play(ctx, *seed, *seeds, soak.Settings{Command: command, Duration: *duration, Output: os.Stdout}, *without != "")
	switch {
	case *without == "" && failed > 0:
		return fmt.Errorf("%d seeds failed", failed)
	case *without != "" && failed == 0:
		return fmt.Errorf("no seed showed that the instances lack %s", *without)
	}

	return nil
}

// play runs the seeds, or those up to the first that fails, and returns how many failed.
func play(ctx context.Context, seed, seeds uint64, settings soak.Settings, untilFirst bool) (failed uint64) {
	passed := uint64(0)
	for s := seed; s < seed+seeds && ctx.Err() == nil && (failed == 0 || !untilFirst); s++ {
		logs, err := os.MkdirTemp("", "soak")
		if err == nil {
			settings.Seed, settings.Logs = s, logs
			err = soak.Run(ctx, settings)
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
