#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace cuminferry::testing {

/** Asserts that a property holds, within a CppUnit test. The counterexample
    stands in rapidcheck's own output. */
template <typename Property>
void CheckProperty(const std::string& what, Property&& property) {
  CPPUNIT_ASSERT_MESSAGE(what, rc::check(what, std::forward<Property>(property)));
}

}  // namespace cuminferry::testing
