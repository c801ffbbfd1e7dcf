package member

import "github.com/rosemarywing/rosemarywing/pkg/peer"

// String returns the name used in log lines and on the status page.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

func toWire(m Member) *peer.MemberUpdate {
	return &peer.MemberUpdate{
		Instance:     &peer.InstanceRef{Id: m.ID, Incarnation: m.Incarnation},
		Address:      m.Address,
		AdminAddress: m.AdminAddress,
		Status:       peer.MemberStatus(m.Status),
		Refutation:   m.Refutation,
		Detached:     m.Detached,
	}
}

func fromWire(u *peer.MemberUpdate) Member {
	return Member{
		ID:           u.GetInstance().GetId(),
		Incarnation:  u.GetInstance().GetIncarnation(),
		Address:      u.GetAddress(),
		AdminAddress: u.GetAdminAddress(),
		Status:       Status(u.GetStatus()),
		Refutation:   u.GetRefutation(),
		Detached:     u.GetDetached(),
	}
}

func allToWire(members []Member) []*peer.MemberUpdate {
	updates := make([]*peer.MemberUpdate, 0, len(members))
	for _, m := range members {
		updates = append(updates, toWire(m))
	}
	return updates
}

func allFromWire(updates []*peer.MemberUpdate) []Member {
	members := make([]Member, 0, len(updates))
	for _, u := range updates {
		members = append(members, fromWire(u))
	}
	return members
}
