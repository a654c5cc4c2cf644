package node

import (
	"testing"

	"lavenderdeal/internal/proptest"
)

func TestMain(m *testing.M) { proptest.MainWithLeakCheck(m) }
