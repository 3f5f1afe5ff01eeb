#include <cstdio>
#include <fuchsiagw/testing/limits_world.hpp>
using namespace fuchsiagw;
using namespace fuchsiagw::testing;
int main()
{
    for (int mode = 0; mode < 2; ++mode)
        for (int uneven = 0; uneven < 3; ++uneven) {
            world_settings s;
            s.seed = 1;
            s.isChecked = false;
            s.areLoansOn = mode;
            auto w = [&](int k) -> std::vector<double> {
                if (!uneven)
                    return {};
                std::vector<double> v(9, uneven == 1 ? 1.0 : 0.0);
                v[k] = uneven == 1 ? 8 : 1;
                return v;
            };
            s.workspaces = { { "a", 400, 400, 320, w(0) }, { "b", 400, 400, 320, w(1) },
                             { "c", 100, 100, 80, w(2) },  { "d", 100, 100, 80, w(3) },
                             { "e", 40, 40, 32, w(4) },    { "f", 20, 20, 16, w(5) },
                             { "g", 10, 10, 8, w(6) },     { "h", 5, 5, 4, w(7) } };
            auto world = makeWorld(s);
            runFor(*world, std::chrono::seconds(120));
            std::printf("loans %d uneven %d lapses %llu bytes/s %.0f\n", mode, uneven,
                        (unsigned long long)world->lapses, world->nodes[0].bytesSent / 120.0);
            for (auto &[r, x] : world->results)
                std::printf("  %s arrived %llu exact %llu granted %llu wrongful %llu (%.3f%%)\n",
                            r.name.c_str(), (unsigned long long)x.arrived,
                            (unsigned long long)x.exactGranted, (unsigned long long)x.granted,
                            (unsigned long long)x.wrongful, 100.0 * x.wrongful / x.arrived);
        }
}
