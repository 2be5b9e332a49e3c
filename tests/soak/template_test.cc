#include "testbed/registered/template.h"

#include <criterion/criterion.h>

using namespace graniteseam::testbed;

/// Guards against settings of zero where a template repeats the value that its section asks for.
Test(settings_template, section_of_a_value_names_it_by_a_dot)
{
    auto const filled = FillTemplate(
        "{{#bounds.catchUp}}time_ms = {{.}}000\n{{/bounds.catchUp}}{{#bounds.other}}other = {{.}}\n"
        "{{/bounds.other}}end",
        R"({"bounds": {"catchUp": 4}})");
    cr_assert(filled == "time_ms = 4000\nend", "%s", filled.c_str());
}

Test(settings_template, section_of_a_list_stands_once_for_each_entry)
{
    auto const filled = FillTemplate("[{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}]", R"({"seeds": ["a", "b"]})");
    cr_assert(filled == "[\"a\",\"b\"]", "%s", filled.c_str());
}
