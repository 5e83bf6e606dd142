#include "policy/serving/item_admission.hpp"

namespace chicory::serving
{

item_admission::item_admission(item_admission_settings initial)
    : settings(initial)
{
}

bool item_admission::may_start(const std::string& service) const
{
    const auto found = this->waiting.find(service);
    if (found == this->waiting.end())
    {
        return true;
    }
    return found->second < this->settings.per_service &&
           this->total < this->settings.total;
}

void item_admission::add(const std::string& service)
{
    ++this->waiting[service];
    ++this->total;
}

} // namespace chicory::serving
