// Package request tests the guarantees 1 to 5 about requests, which section 1 of docs/design.md states.
//
// A fleet of entry instances, stand-in targets and the stand-in platform runs in the test process. The tests compare the journals
// of the targets with the outcomes that callers saw. docs/PROOFS.md lists what is covered. All random choices derive from the seed
// in PROOF_SEED:
//
//	PROOF_SEED=7 go test ./internal/proof/request
package request
