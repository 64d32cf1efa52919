package wire

import (
	"time"

	"github.com/madderpond/madderpond/pkg/core/routing"
	"github.com/madderpond/madderpond/pkg/units"
)

// FromQuota converts a message between boxes.
func FromQuota(m *routing.QuotaMessage) *Quota {
	return &Quota{Kind: int32(m.Kind), Workspace: string(m.Workspace), Nonce: m.Nonce, Count: int32(m.Count), Again: int64(m.RetryAfter)}
}

// ToQuota converts a message between boxes back.
func ToQuota(m *Quota) routing.QuotaMessage {
	return routing.QuotaMessage{
		Kind: routing.QuotaKind(m.Kind), Workspace: units.WorkspaceName(m.Workspace), Nonce: m.Nonce, Count: max(0, int(m.Count)),
		RetryAfter: max(0, time.Duration(m.Again)),
	}
}

// FromQuotaUses converts what a box tells the leader of quotas.
func FromQuotaUses(list []routing.QuotaUsage) []*WorkspaceUse {
	return mapSlice(list, func(x routing.QuotaUsage) *WorkspaceUse {
		return &WorkspaceUse{Workspace: string(x.Workspace), Admitted: uint32(x.Admitted), Refused: uint32(x.Refused)}
	})
}
