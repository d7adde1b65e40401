// Package days checks the bench days in deploy/days: that they contain each kind of planned work and of fault, and combine each
// kind of planned work with a fault of each part of the system.
package days
