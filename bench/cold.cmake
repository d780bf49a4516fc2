set(DEPENDS marigold_routing)
