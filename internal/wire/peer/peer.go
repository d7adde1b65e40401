// Package peer carries calls between instances over drpc.
//
// A Server answers calls with one function for each, and a Client makes them:
//
//	server := peer.NewServer(peer.WithPing(members.HandlePing))
//	go server.Serve(ctx, listener)
//
//	client := peer.NewClient(timers, peer.WithSender(self))
//	ack, err := client.Ping(ctx, address, gossip)
//
// Messages are domain types in CBOR. A message is at most MaxMessageBytes long and is checked when it is decoded. The
// drpc description is written by hand, so the build needs no generator.
//
// drpc runs one call at a time on a connection, so a Client keeps a bounded pool of connections for each peer, one for
// relays and one for the control plane. A new connection carries a Hello before it is used: a paused process still
// accepts connections, and a relay must not be handed to one that does not answer.
package peer

import (
	"time"

	"github.com/zeebo/errs"
	"storj.io/drpc/drpcerr"
)

// Error is the class of the errors of this package.
var Error = errs.Class("peer")

// malformed is the class of the errors of messages that do not decode or check.
var malformed = errs.Class("malformed message")

// Bounds of messages.
const (
	MaxMessageBytes = 4 << 20
	// MaxRecordBytes is the bound of the platform's store, from which records come.
	MaxRecordBytes = 1 << 20
	// MaxUpdates is the number of member updates in a ping and in its reply. It bounds the load of gossip: 450
	// instances have 18 bytes a second each within 8 KB.
	MaxUpdates = 8
	// MaxMembers is the number of members in a Table.
	MaxMembers = 1024
	// MaxLeaving and MaxSeeds bound a Listing. There are 3,200 targets at the expected size. A receiver tries one seed every
	// 10 s, and each Listing has another choice of them.
	MaxLeaving = 8 << 10
	MaxSeeds   = 32
	// MaxListingAge is above the time for which a Listing is useful.
	MaxListingAge = time.Minute
	// MaxReports is the number of target reports in a message. With as many holdings as a report may have they take 1.3 MB.
	MaxReports = 512
	// Buckets is the number of parts of a table of target reports that are compared on their own. With 3,200 targets a part
	// has 50 reports, so that one report that was missed does not cost the whole table.
	Buckets = 64
	// maxElements bounds every array and map of a message before its elements are allocated. Hits of a reply are the
	// longest array.
	maxElements = 16 << 10
	// maxNesting is above the depth of the deepest message, a relay's reply with its report's holdings.
	maxNesting = 12
)

// The names of the calls.
const (
	rpcHello         = "/Peer/Hello"
	rpcRelay         = "/Peer/Relay"
	rpcPing          = "/Peer/Ping"
	rpcPingRequest   = "/Peer/PingRequest"
	rpcSync          = "/Peer/Sync"
	rpcConfiguration = "/Peer/Configuration"
	rpcPush          = "/Peer/Push"
	rpcListing       = "/Peer/Listing"
	rpcCompare       = "/Peer/Compare"
	rpcReports       = "/Peer/Reports"
)

// Codes of errors that a server returns before a call reaches its function.
const (
	codeMalformed     = 1
	codeUnimplemented = drpcerr.Unimplemented
)
