set(DEPENDS marigold_control)
