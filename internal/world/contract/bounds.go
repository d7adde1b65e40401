package contract

import "time"

// Bounds of a configuration.
const (
	// MaxBytes is the maximum size of the base and all overlays together, encoded as JSON. The store accepts records of up to
	// 1 MiB. The difference of 64 KiB is reserved for the revision and the history, which are stored in the same record.
	MaxBytes = 1<<20 - 64<<10
	// MaxAvailabilityZones, MaxServices and MaxReplicas are several times the numbers expected in two years: 9 zones, and
	// 3,200 replicas of all services together.
	MaxAvailabilityZones = 64
	MaxServices          = 512
	// MaxReplicas is the maximum number of replicas of one service.
	MaxReplicas = 4096
	// MaxNameLength is the maximum length in bytes of the names of services and callers, which are used as metric labels.
	MaxNameLength = 63
	// MaxDeadline is far below the 8 minutes after which a claim expires, so that no claim expires before its request ends.
	MaxDeadline = time.Minute
	// MaxPageSize is the maximum number of hits that a caller may request.
	MaxPageSize = 1000
	// MaxSlots and MaxConnections are the maximum values of Slots and Connections of a service.
	MaxSlots       = 1024
	MaxConnections = 65536
)
