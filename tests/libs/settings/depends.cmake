# Tests that compare documentation pages locate them relative to the source root.
if(NOT TARGET marigold_source_root)
    add_library(marigold_source_root INTERFACE)
    target_compile_definitions(marigold_source_root INTERFACE MARIGOLD_SOURCE_ROOT="${CMAKE_SOURCE_DIR}")
endif()
set(DEPENDS marigold_source_root marigold_entry marigold_agent marigold_relay)
