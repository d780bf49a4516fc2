set(DEPENDS marigold_base fmt)
