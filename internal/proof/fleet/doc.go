// Package fleet tests the guarantees about the fleet as a whole: an accepted configuration is in force everywhere and never
// reverts, a leaving target gets no new work, and a planned stop interrupts no request in flight.
//
// All code is in test files. A matrix runs every fault at every step at which it can occur, and checks the guarantee afterwards.
// The tests that begin with TestProve run scenarios with a mechanism switched off, which must violate the guarantee, and with it
// on.
//
// The tests about configurations use a fleet of simulated instances with in-memory calls. Those about stops and leaving targets use
// a cluster of real entry instances. Both run in virtual time.
package fleet
