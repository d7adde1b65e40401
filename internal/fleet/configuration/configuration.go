// Package configuration brings the accepted configuration to every instance and keeps it there.
//
// The platform's store holds one Record under Key. A record is accepted when a compare-and-swap put it there, and its
// Revision is one higher than that of the record it replaced. Instances learn records from the store and from each other and
// adopt a record only if its revision is higher than the one in force, so a configuration never reverts, whoever offers an
// older one.
package configuration

import "github.com/zeebo/errs"

// Error is the class of the errors of this package.
var Error = errs.Class("configuration")

// Key is the key of the record in the platform's store.
const Key = "Configuration"
