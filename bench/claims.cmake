set(DEPENDS marigold_outcome)
