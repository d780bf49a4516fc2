set(DEPENDS marigold_operate)
