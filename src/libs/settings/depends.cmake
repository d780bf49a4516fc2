set(DEPENDS marigold_base)
