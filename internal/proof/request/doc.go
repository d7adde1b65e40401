// Package request holds the tests of the guarantees about requests, 1 to 5 of section 1 of docs/design.md.
//
// A fleet of entry instances, stand-in targets and the stand-in platform runs within the test. The judge compares the
// journals of the targets with what callers were told; docs/PROOFS.md lists what is covered. The seed of all choices comes
// from PROOF_SEED:
//
//	PROOF_SEED=7 go test ./internal/proof/request
package request
