package contract

import "time"

// Bounds of a configuration.
const (
	// MaxBytes is the largest size of the base and all overlays together, as JSON. The store holds values up to 1 MiB; the
	// difference of 64 KiB is room for the revision and the history of the record that carries them.
	MaxBytes = 1<<20 - 64<<10
	// MaxAvailabilityZones, MaxServices and MaxReplicas are several times the size expected in two years: 9 zones, and
	// 3,200 replicas over all services.
	MaxAvailabilityZones = 64
	MaxServices          = 512
	// MaxReplicas is the largest number of replicas of one service.
	MaxReplicas = 4096
	// MaxNameLength is the largest length of the names of services and callers. Both become metric labels.
	MaxNameLength = 63
	// MaxDeadline is far below the 8 minutes that a claim lasts, so that no claim ends before its request.
	MaxDeadline = time.Minute
	// MaxPageSize is the largest number of hits that a caller may request.
	MaxPageSize = 1000
	// MaxSlots and MaxConnections are the largest limits of one replica.
	MaxSlots       = 1024
	MaxConnections = 65536
)
