package gateway

import (
	"testing"

	"github.com/linnetrudder/linnetrudder/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }
