package quota

import "time"

// probeInterval is the interval at which an instance tries an owner again that has not answered.
const probeInterval = 500 * time.Millisecond

// Contact decides which of the owner and the backup of a group of accounts an instance uses. It answers owners that are killed, frozen or
// cut off: after one call that was not answered, requests do not wait for the owner again until it has answered a probe. The zero value is
// ready to use. It is not safe for concurrent use.
type Contact struct {
	owner, backup connection
}

// connection is what an instance knows of an owner or a backup.
type connection struct {
	name    string
	failed  bool
	probeAt time.Time
	// incapable is set if the instance has an earlier version, which counts no accounts.
	incapable bool
}

// Update sets the owner and the backup of the group.
func (c *Contact) Update(owner, backup string) {
	known := [...]connection{c.owner, c.backup}
	find := func(name string) connection {
		for _, k := range known {
			if k.name == name {
				return k
			}
		}

		return connection{name: name}
	}
	c.owner, c.backup = find(owner), find(backup)
}

// Use returns the instance to report to and to ask, and false if neither answers.
func (c *Contact) Use() (instance string, ok bool) {
	for _, k := range [...]connection{c.owner, c.backup} {
		if k.name != "" && !k.failed {
			return k.name, true
		}
	}

	return "", false
}

// Detached reports whether the owner and the backup are known and neither answers. An instance that has just started knows none, and
// reports later.
func (c *Contact) Detached() bool {
	_, attached := c.Use()

	return !attached && (c.owner.name != "" || c.backup.name != "")
}

// Uncounted reports whether nobody counts the requests of the group, because its owner has an earlier version and the backup does not answer.
// It answers a rolling upgrade, in which the owners of most groups have the earlier version at first.
func (c *Contact) Uncounted() bool { return c.Detached() && c.owner.incapable }

// Failed records that a call was not answered. incapable is set if the instance does not know the call. It returns true if no instance is
// left to use.
func (c *Contact) Failed(now time.Time, instance string, incapable bool) (detached bool) {
	was := c.Detached()
	for _, k := range [...]*connection{&c.owner, &c.backup} {
		if k.name == instance {
			k.failed, k.probeAt, k.incapable = true, now.Add(probeInterval), incapable
		}
	}

	return c.Detached() && !was
}

// Answered records that a call was answered. It returns true if there was no instance to use before.
func (c *Contact) Answered(instance string) (attached bool) {
	was := c.Detached()
	for _, k := range [...]*connection{&c.owner, &c.backup} {
		if k.name == instance {
			k.failed, k.incapable = false, false
		}
	}

	return was && !c.Detached()
}

// Probes returns the instances that have to be tried again now.
func (c *Contact) Probes(now time.Time) (instances []string) {
	for _, k := range [...]*connection{&c.owner, &c.backup} {
		if k.name != "" && k.failed && !now.Before(k.probeAt) {
			k.probeAt = now.Add(probeInterval)
			instances = append(instances, k.name)
		}
	}

	return instances
}
