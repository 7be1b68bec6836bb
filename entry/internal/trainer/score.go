package trainer

import (
	"context"
	"encoding/json"
	"time"

	"bulrushspoke/wire"
)

// scoreRequest is the body of a call to a scorer and scoreAnswer the body of its answer.
type scoreRequest struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
	Group  string `json:"group"`
	Index  int    `json:"index"`
}

type scoreAnswer struct {
	Score float64 `json:"score"`
}

// score asks the step's scorer for the value of a sample until it answers; false if the sample is not wanted any more.
func (s *Step) score(ctx context.Context, a *attempt, sample *wire.Sample) bool {
	g := s.groups[s.cells[a.slot].group]
	body, err := json.Marshal(scoreRequest{Prompt: g.Prompt, Text: sample.Text, Group: g.Name, Index: sample.Index})
	if err != nil {
		return false
	}
	pause := firstPause
	for ctx.Err() == nil {
		r, err := s.t.o.Dispatcher.Run(ctx, Job{
			Work: wire.Work{
				Class: class, Tenant: s.spec.Tenant, Profile: s.spec.Profile, Request: s.request(a.slot),
				Model: s.spec.Scorer, Call: &wire.Call{Method: "POST", Path: "/score", Body: body},
			},
			Deadline: time.Now().Add(s.deadline()),
		})
		var answer scoreAnswer
		if err == nil && r.Reply != nil && r.Reply.Status == 200 && json.Unmarshal(r.Reply.Body, &answer) == nil {
			sample.Score, sample.Scored = answer.Score, true
			return true
		}
		s.wait(ctx, nil, pause)
		pause = min(2*pause, lastPause)
	}
	return false
}
