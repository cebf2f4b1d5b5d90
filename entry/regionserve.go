package entry

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"hyssopjunction/controlpb"
	"hyssopjunction/ident"
	"hyssopjunction/quota"
	"hyssopjunction/set"
	"hyssopjunction/unit"
)

const (
	// maxConfigBytes is the size of documents above which no further change is added to a reply. A
	// change has at most 128 KiB of values, so maxReplyBytes leaves room for the last one, the
	// envelopes and the teams.
	maxConfigBytes = 256 << 10
	maxReplyBytes  = 1 << 20
	// maxPulledTeams and maxPulledTransfers bound the teams in a message and the transfers of each.
	// With 64 teams of some 40 bytes a second, teams that lack quota use 2.5 KB/s of the 7 KB/s to
	// which the control traffic of a daemon is limited.
	maxPulledTeams     = 64
	maxPulledTransfers = 16
	// quotaMarginPercent is the part of a team's quota that is kept free in each region if the
	// other region can spare it. A transfer takes a few seconds; until it arrives, only charges
	// that exceed the margin are refused.
	quotaMarginPercent = 10
)

// Pull returns the configuration and the quota transfers that another region imports.
func (entry *Entry) Pull(ctx context.Context, request *controlpb.PullRequest) (*controlpb.PullReply, error) {
	if err := entry.checkReady(); err != nil {
		return nil, err
	}
	if entry.link == nil {
		return nil, status.Error(codes.FailedPrecondition, "the settings name no other region")
	}
	return entry.link.serve(ctx, request)
}

// serve answers a pull.
func (link *regionLink) serve(ctx context.Context, request *controlpb.PullRequest) (*controlpb.PullReply, error) {
	caller := ident.Region(request.GetRegion())
	if !ident.Valid(caller) || len(request.GetOpenTeams()) > maxPulledTeams {
		return nil, status.Error(codes.InvalidArgument, "the region is no name, or too many teams")
	}
	reply := &controlpb.PullReply{Region: string(link.region)}
	if caller == link.region {
		// The caller refuses this reply and logs that its settings are wrong.
		return reply, nil
	}
	above := ident.Version(0)
	if request.GetFromRegion() == string(link.region) {
		above = ident.Version(request.GetAboveVersion())
	}
	view := link.publisher.Current()
	delta, err := view.Export(link.region, above, maxConfigBytes)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	reply.Config, reply.Version = delta, uint64(view.Version())
	included := set.New[ident.Team]()
	for _, name := range request.GetOpenTeams() {
		// The caller waits for a confirmation, which may be missing in the rows as last read.
		team := ident.Team(name)
		row, exists, err := link.readRow(ctx, team)
		if err != nil || !exists || !included.Add(team) {
			continue
		}
		reply.Teams = append(reply.Teams, link.teamTransfers(row, caller))
	}
	rows := link.teamRows()
	for index := range rows {
		row := rows[(index+link.offset(len(rows)))%len(rows)]
		if len(reply.Teams) >= maxPulledTeams {
			break
		}
		message := link.teamTransfers(row, caller)
		if len(message.Outgoing) == 0 && controlpb.ToResources(message.GetMissing()).IsZero() || !included.Add(row.Team) {
			continue
		}
		reply.Teams = append(reply.Teams, message)
	}
	link.mu.Lock()
	link.replyCount++
	link.mu.Unlock()
	return reply, nil
}

// offset returns the index of the first team in a reply. It advances with each reply, so that all
// teams have their turn.
func (link *regionLink) offset(rows int) int {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.replyCount * (maxPulledTeams / 2) % rows
}

// teamTransfers returns the message to another region about a team's quota.
func (link *regionLink) teamTransfers(row quota.Row, caller ident.Region) *controlpb.TeamTransfers {
	message := &controlpb.TeamTransfers{Team: string(row.Team), Received: row.Received[caller]}
	for _, transfer := range row.Outgoing {
		if transfer.To == caller && len(message.Outgoing) < maxPulledTransfers {
			message.Outgoing = append(message.Outgoing, &controlpb.QuotaTransfer{
				Number: transfer.Number, Amount: controlpb.FromResources(transfer.Amount),
			})
		}
	}
	if missing := link.missing(row); !missing.IsZero() {
		message.Missing = controlpb.FromResources(missing)
	}
	return message
}

// missing returns the quota that the team lacks in this region.
func (link *regionLink) missing(row quota.Row) unit.Resources {
	if _, ok := link.publisher.Current().Team(row.Team); !ok {
		return unit.Resources{}
	}
	return row.Missing(link.configured(row.Team), quotaMarginPercent)
}

// configured returns the quota that operators set for the team in this region.
func (link *regionLink) configured(name ident.Team) unit.Resources {
	team, _ := link.publisher.Current().Team(name)
	return team.Quotas[link.region]
}
