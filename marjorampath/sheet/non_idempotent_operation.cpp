#include <marjorampath/sheet/non_idempotent_operation.hpp>

namespace marjorampath
{

bool non_idempotent_operation::matches(std::string_view request_method,
                                       std::string_view target) const noexcept
{
    if (method != "*" && method != request_method)
        return false;

    // The query does not select an operation
    target = target.substr(0, target.find('?'));

    if (path.ends_with('*'))
        return target.starts_with(std::string_view(path).substr(0, path.size() - 1));
    return target == path;
}

} // namespace marjorampath
