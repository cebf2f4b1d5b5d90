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
	// maxConfigBytes is the size of documents above which a reply ends with the current change, which
	// has at most 128 KiB of values; maxReplyBytes leaves room for that, the envelopes and the teams.
	maxConfigBytes = 256 << 10
	maxReplyBytes  = 1 << 20
	// maxPulledTeams and maxPulledTransfers bound the teams of a message and the transfers of each. With
	// 64 teams of some 40 bytes a second, teams that lack quota cost 2.5 of a daemon's 7 KB/s.
	maxPulledTeams     = 64
	maxPulledTransfers = 16
	// marginPercent is the part of a team's quota that is kept free in each region if the other one has
	// it to spare. Charges are refused before more quota arrives only if they exceed it within the
	// few seconds that a transfer takes.
	marginPercent = 10
)

// Pull returns to an entry of another region what that region imports.
func (entry *Entry) Pull(ctx context.Context, request *controlpb.PullRequest) (*controlpb.PullReply, error) {
	if err := entry.notReady(); err != nil {
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
		// The caller refuses the reply and reports its settings.
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
	told := set.New[ident.Team]()
	for _, name := range request.GetOpenTeams() {
		// The caller waits for a confirmation, which the rows as last read may not show yet.
		team := ident.Team(name)
		row, known, err := link.readRow(ctx, team)
		if err != nil || !known || !told.Add(team) {
			continue
		}
		reply.Teams = append(reply.Teams, link.describe(row, caller))
	}
	rows := link.rows()
	for index := range rows {
		row := rows[(index+link.offset(len(rows)))%len(rows)]
		if len(reply.Teams) >= maxPulledTeams {
			break
		}
		message := link.describe(row, caller)
		if len(message.Outgoing) == 0 && controlpb.ToResources(message.GetMissing()).IsZero() || !told.Add(row.Team) {
			continue
		}
		reply.Teams = append(reply.Teams, message)
	}
	link.mu.Lock()
	link.served++
	link.mu.Unlock()
	return reply, nil
}

// offset moves the first team with each reply, so that all teams are told of in turn.
func (link *regionLink) offset(rows int) int {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.served * (maxPulledTeams / 2) % rows
}

// describe tells another region about a team's row.
func (link *regionLink) describe(row quota.Row, caller ident.Region) *controlpb.TeamTransfers {
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

// missing returns what the team lacks in this region.
func (link *regionLink) missing(row quota.Row) unit.Resources {
	if _, ok := link.publisher.Current().Team(row.Team); !ok {
		return unit.Resources{}
	}
	return row.Missing(link.configured(row.Team), marginPercent)
}

// configured returns what operators granted the team in this region.
func (link *regionLink) configured(name ident.Team) unit.Resources {
	team, _ := link.publisher.Current().Team(name)
	return team.Quotas[link.region]
}
