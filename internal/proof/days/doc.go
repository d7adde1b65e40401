// Package days checks the bench days of deploy/days: which kinds of trouble they hold, and which pairs of planned work and trouble.
package days
