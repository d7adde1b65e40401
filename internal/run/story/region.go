package story

import (
	"fmt"

	"github.com/hickorynotch/hickorynotch/internal/run/event"
)

// regionState says why a request was refused because of the regions that it allows, and nothing for other lines.
func regionState(l *line) []string {
	switch {
	case l.fields["Name"] != event.RegionUnavailable.Name:
		return nil
	case l.fields["Regions"] == "":
		return []string{"    the route and the account allow no region in common"}
	default:
		return []string{fmt.Sprintf("    %s of %s shards have a target in the allowed regions (%s); the minimum is %s",
			l.fields["Reachable"], l.fields["Shards"], l.fields["Regions"], l.fields["Minimum"])}
	}
}
