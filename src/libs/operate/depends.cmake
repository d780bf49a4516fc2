set(DEPENDS marigold_base prometheus-cpp-core)
