// Command soak runs the fault soak: instances as processes, harmed by a random schedule from a seed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hickorynotch/hickorynotch/internal/proof/soak"
)

func main() {
	if !play() {
		os.Exit(1)
	}
}

// play runs the seeds and reports whether all passed.
func play() bool {
	program := flag.String("program", ".bin/hickorynotch", "path of the product")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Uint64("seeds", 1, "number of seeds, one run each")
	duration := flag.Duration("duration", 15*time.Second, "time of faults in each run")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for s := *seed; s < *seed+*seeds && ctx.Err() == nil; s++ {
		logs, err := os.MkdirTemp("", "soak")
		if err == nil {
			err = soak.Run(ctx, soak.Settings{Program: *program, Seed: s, Duration: *duration, Output: os.Stdout, Logs: logs})
		}
		if err != nil {
			failed++
			fmt.Printf("FAILED seed %d: %v; logs in %s\n", s, err, logs)

			continue
		}
		_ = os.RemoveAll(logs)
	}
	fmt.Printf("soak: %d passed, %d failed\n", *seeds-uint64(failed), failed)

	return failed == 0
}
