set(DEPENDS marigold_standin)
