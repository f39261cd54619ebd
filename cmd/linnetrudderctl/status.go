package main

import (
	"fmt"
	"io"

	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/node"
)

// statusCmd prints the status of every box.
type statusCmd struct{}

// boxStatus is a box of the platform's list with the status that it reports.
type boxStatus struct {
	Box        string     `json:"box"`
	DataCentre string     `json:"data_centre"`
	Role       boxes.Role `json:"role"`
	Revision   uint64     `json:"revision"`
	Stopping   bool       `json:"stopping"`
	// Error is set if the box did not return its status.
	Error string `json:"error,omitempty"`
}

// Run reads and prints the status of each box.
func (*statusCmd) Run(cl *client, pr *printer) error {
	var all []boxStatus
	err := cl.getFromAll("/v1/status", func() any { return &node.Status{} }, func(bo boxes.Box, value any, err error) {
		bs := boxStatus{Box: bo.Name, DataCentre: bo.DataCentre, Role: bo.Role}
		if st, ok := value.(*node.Status); ok && err == nil {
			bs.Revision, bs.Stopping = st.Revision, st.Stopping
		}
		if err != nil {
			bs.Error = err.Error()
		}
		all = append(all, bs)
	})
	if err != nil {
		return err
	}
	return pr.show(all, func(w io.Writer) {
		for _, bs := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\trevision %d\t%s\n", bs.Box, bs.DataCentre, bs.Role, bs.Revision, bs.Error)
		}
	})
}
