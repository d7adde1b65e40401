package node

import (
	"context"
	"errors"

	"github.com/hickorynotch/hickorynotch/internal/tier/account"
	"github.com/hickorynotch/hickorynotch/internal/tier/control"
	"github.com/hickorynotch/hickorynotch/internal/tier/peer"
)

// newAccounts returns the service that applies the quotas of client accounts.
func (n *Node) newAccounts() *account.Service {
	return account.New(account.Settings{Name: n.settings.Name, Slack: n.settings.Quota.Slack}, account.Calls{
		Report: n.peerClient.ReportUsage, RequestTokens: n.peerClient.RequestTokens, NotifyLimited: n.notifyLimited,
		CutOff: func() bool { return n.members.CutOff() },
	}, n.timers, account.WithLog(n.log), account.WithMetrics(n.metrics))
}

// quotas returns the functions that serve the calls of peers about quotas.
func (n *Node) quotas() peer.Quotas {
	return peer.Quotas{
		Report: n.accounts.HandleReport, RequestTokens: n.accounts.HandleRequestTokens, NotifyLimited: n.accounts.HandleNotifyLimited,
	}
}

// updateAccountOwners passes on the instances among which the ledgers of accounts are divided. A view that may be out of date is ignored,
// unless no instances are known yet.
func (n *Node) updateAccountOwners(v control.View) {
	if !v.UpToDate && n.accounts.KnowsInstances() {
		return
	}
	instances := make([]account.Instance, 0, len(v.Instances))
	for _, i := range v.Instances {
		instances = append(instances, account.Instance{Name: i.Name, Peer: i.Peer, Processor: i.Processor})
	}
	n.accounts.SetInstances(instances, n.fleetSize.Load().limits.Instances)
}

// notifyLimited tells all other instances which accounts are limited from now on, and which are not limited any more.
func (n *Node) notifyLimited(ctx context.Context, limited, unlimited []string) {
	n.broadcast(n.members.View().Instances, func(i *control.Instance) error {
		err := n.peerClient.NotifyLimited(ctx, i.Peer, limited, unlimited)
		if errors.Is(err, peer.ErrUnknownCall) {
			// An instance of an earlier version admits all requests anyway.
			return nil
		}

		return err
	})
}

// observeAccounts registers the metric of refused requests.
func (n *Node) observeAccounts() error {
	return n.metrics.ObserveLabelled("hickorynotch.account.refused",
		"Requests over the quota that this instance refused, for the accounts that are refused most.", "account", n.accounts.Refused)
}
