package coordinator

import (
	"time"

	"github.com/hashicorp/raft"

	"pepperlead/internal/ruleset"
)

// Proposal is a revision that an author wants to put in force.
type Proposal struct {
	Text       []byte                 // unused for a rollback
	RollbackOf ruleset.RevisionNumber // the revision whose text is proposed again; 0: none
	Last       ruleset.RevisionNumber // the latest revision that the author knew
	Author     string
}

// validatedProposal is a proposal whose text was checked against the revision in force.
type validatedProposal struct {
	Proposal
	inForce *ruleset.Revision      // nil if there is none
	base    ruleset.RevisionNumber // the active revision
}

// Propose commits a proposal and returns the number of its revision. The error says that this coordinator is not the
// leader (ErrNotLeader), that there is no leader, why the proposal was rejected, or that its outcome is unknown.
func (c *Coordinator) Propose(proposal Proposal) (ruleset.RevisionNumber, error) {
	if _, err := c.Leader(); err != nil {
		return 0, err
	}
	if c.raft.State() != raft.Leader {
		return 0, ErrNotLeader
	}
	valid, err := c.validate(proposal)
	if err != nil {
		return 0, err
	}
	err = c.commit(&applyCommand{
		Name:       commandApply,
		Text:       valid.Text,
		Table:      c.config.AssignSlots(valid.Text, valid.inForce),
		RollbackOf: valid.RollbackOf,
		Last:       valid.Last,
		Base:       valid.base,
		Author:     valid.Author,
		ProposedAt: time.Now().UnixNano(),
	})
	if err != nil {
		return 0, err
	}
	return proposal.Last + 1, nil
}

// DryRun returns the reason why Propose would reject a proposal, or nil if there is none.
func (c *Coordinator) DryRun(proposal Proposal) error {
	valid, err := c.validate(proposal)
	if err != nil {
		return err
	}
	log := c.RevisionLog()
	if valid.RollbackOf > 0 {
		return log.ProposeRollback(valid.RollbackOf, ruleset.Revision{}, valid.Last, valid.base)
	}
	return log.Propose(ruleset.Revision{Text: valid.Text}, valid.Last, valid.base)
}

// validate checks the text of a proposal against the revision in force. The text of a rollback is that of the earlier
// revision.
func (c *Coordinator) validate(proposal Proposal) (validatedProposal, error) {
	log := c.RevisionLog()
	valid := validatedProposal{Proposal: proposal, base: log.Active}
	var textInForce []byte
	for i := range log.Revisions {
		revision := &log.Revisions[i]
		if revision.Number == log.Active {
			valid.inForce = revision
			textInForce = revision.Text
		}
		if proposal.RollbackOf > 0 && revision.Number == proposal.RollbackOf {
			valid.Text = revision.Text
		}
	}
	return valid, c.config.Validate(valid.Text, textInForce)
}

// Withdraw cancels the change in progress to a revision.
func (c *Coordinator) Withdraw(number ruleset.RevisionNumber) error {
	if c.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	return c.commit(&withdrawCommand{Name: commandWithdraw, Number: number})
}
