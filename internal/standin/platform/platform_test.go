package platform_test

import (
	"testing"

	"cyclamenstream/internal/contract/inventorytest"
	"cyclamenstream/internal/contract/storetest"
	"cyclamenstream/internal/standin/platform"
)

// Guards against a stand-in that behaves unlike the port that it stands for.
func TestStoreContract(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.Fixture {
		p := platform.New()
		return storetest.Fixture{Store: p, Platform: p}
	})
}

// Guards against an in-memory list that differs from the one over gRPC.
func TestInventoryContract(t *testing.T) {
	inventorytest.Run(t, func(*testing.T) inventorytest.Fixture {
		p := platform.New()
		return inventorytest.Fixture{Inventory: p, Platform: p}
	})
}
