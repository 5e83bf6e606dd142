#include "policy/serving/item_admission.hpp"

namespace chicory::serving
{

item_admission::item_admission(item_admission_settings initial)
    : settings(initial)
{
}

bool item_admission::may_start(const std::string& service, bool uncertain) const
{
    const auto found = this->waiting.find(service);
    if (found == this->waiting.end())
    {
        return true;
    }
    const bool has_place =
        uncertain
            ? found->second.uncertain < this->settings.uncertain_per_service
            : found->second.regular < this->settings.per_service;
    return has_place && this->total < this->settings.total;
}

void item_admission::add(const std::string& service, bool uncertain)
{
    waiting_items& items = this->waiting[service];
    ++(uncertain ? items.uncertain : items.regular);
    ++this->total;
}

bool item_admission::has_too_many_uncertain(const std::string& service) const
{
    const auto found = this->waiting.find(service);
    return found != this->waiting.end() &&
           found->second.uncertain > this->settings.uncertain_per_service;
}

} // namespace chicory::serving
