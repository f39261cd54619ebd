package poison

import (
	"slices"
	"strconv"
)

// Part identifies a part of the prompts that one service processes for one team, or for all teams.
// Its fields are exported because it is data without behaviour.
type Part struct {
	Service string `cbor:"1,keyasint,omitempty" json:"service"`
	// Team is the name of the team, empty for callers without a key and if AllTeams is set.
	Team string `cbor:"2,keyasint,omitempty" json:"team,omitempty"`
	// ID is the part's id as the team's requests name it.
	ID string `cbor:"3,keyasint" json:"id"`
	// AllTeams is set if the part is meant whichever team sends it.
	AllTeams bool `cbor:"4,keyasint,omitempty" json:"all_teams,omitempty"`
}

// Fingerprint identifies the part among blocked requests and parts.
func (pa Part) Fingerprint() Fingerprint {
	return hashFields("part", strconv.FormatBool(pa.AllTeams), pa.Service, pa.Team, pa.ID)
}

// forAllTeams returns the part whichever team sends it.
func (pa Part) forAllTeams() Part { return Part{Service: pa.Service, ID: pa.ID, AllTeams: true} }

// part returns the part with one of the subject's ids.
func (su Subject) part(id string) Part { return Part{Service: su.Service, Team: su.Team, ID: id} }

// PartList returns the parts of the subject's prompt that other requests may share.
func (su Subject) PartList() []Part {
	list := make([]Part, len(su.Parts))
	for i, id := range su.Parts {
		list[i] = su.part(id)
	}
	return list
}

// Has reports whether the subject has a part.
func (su Subject) Has(pa Part) bool {
	return su.Service == pa.Service && (pa.AllTeams || su.Team == pa.Team) && slices.Contains(su.Parts, pa.ID)
}
