//go:build knownred

package node_test

// knownRed is set if what KNOWN-RED.txt lists is checked as well.
const knownRed = true
