package target

import "errors"

var errZoneNotAllowed = errors.New("the target is in an availability zone that the call does not allow")

// zoneAllowed reports whether a call may be sent to the target in the zone that its directory entry names now.
func (l *Link) zoneAllowed(call *Call) bool {
	return call.AllowsZone == nil || call.AllowsZone(l.Target().AvailabilityZone)
}
