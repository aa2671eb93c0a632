package platform_test

import (
	"testing"

	"cyclamenstream/internal/contract/inventorytest"
	"cyclamenstream/internal/contract/storetest"
	"cyclamenstream/internal/standin/platform"
)

// Guards against a stand-in store that violates the contract of platform.Store.
func TestStoreContract(t *testing.T) {
	storetest.Run(t, func(*testing.T) storetest.Fixture {
		p := platform.New()
		return storetest.Fixture{Store: p, Platform: p}
	})
}

// Guards against an in-memory list that behaves differently from the list over gRPC.
func TestInventoryContract(t *testing.T) {
	inventorytest.Run(t, func(*testing.T) inventorytest.Fixture {
		p := platform.New()
		return inventorytest.Fixture{Inventory: p, Platform: p}
	})
}
