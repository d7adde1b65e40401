// Package fleet proves what the system promises about the fleet as a whole: an accepted configuration is in force
// everywhere and never reverts, a leaving target gets no new work, and a planned stop interrupts no request in flight.
//
// All code is in test files. A matrix runs every fault at every step and leaves the verdict to a judge; the tests that
// begin with TestProve run the judge with a mechanism switched off, where it must complain, and with it on.
package fleet
