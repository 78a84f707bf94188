package entry

import (
	"gypsumlead/fault"
)

// stage is how far a request has come.
type stage uint8

const (
	stageReceived stage = iota // nothing is decided
	stageAdmitted              // holds a slot
	stageClaimed               // holds a slot, and the key is claimed for it
	stageSending               // handed to the upstreams
	stageAnswered              // an upstream's answer is there
	stageTold                  // the caller was told an outcome
	stageCount
)

// nextStages is the table of the transitions that a request may make.
var nextStages = [stageCount][]stage{
	stageReceived: {stageAdmitted, stageTold},
	stageAdmitted: {stageClaimed, stageSending, stageTold},
	stageClaimed:  {stageSending, stageTold},
	stageSending:  {stageAnswered, stageTold},
	stageAnswered: {stageTold},
	stageTold:     nil,
}

// progress is the state of one request. It is told exactly one outcome, never not run after an
// upstream has answered, and a keyed request is never sent without its claim.
type progress struct {
	stage   stage
	keyed   bool
	outcome fault.Outcome
}

// move goes to the next stage.
func (p *progress) move(to stage) error {
	for _, s := range nextStages[p.stage] {
		if s != to {
			continue
		}
		if to == stageSending && p.keyed && p.stage != stageClaimed {
			return fault.New(fault.Breach, "a keyed request would be sent without its claim")
		}
		p.stage = to
		return nil
	}
	return fault.New(fault.Breach, "a request went from stage %d to %d", p.stage, to)
}

// tell notes the one outcome that the caller gets.
func (p *progress) tell(o fault.Outcome) error {
	if p.stage == stageAnswered && o == fault.NotRun {
		return fault.New(fault.Breach, "a request that an upstream answered is called not run")
	}
	replay := p.keyed && (p.stage == stageReceived || p.stage == stageAdmitted)
	if o == fault.Ran && p.stage != stageAnswered && !replay {
		return fault.New(fault.Breach, "a request without an answer is called run")
	}
	if err := p.move(stageTold); err != nil {
		return err
	}
	p.outcome = o
	return nil
}
